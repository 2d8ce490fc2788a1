"""Refusals as `application/problem+json`."""

import json
import math
import typing

from figford import errors

CONTENT_TYPE = b"application/problem+json"


def problem(refusal: errors.Refusal) -> dict:
    """Returns the problem document of a refusal."""
    document = {
        "type": f"urn:figford:{refusal.kind}",
        "title": refusal.kind.replace("-", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "run": refusal.run_state.value,
    }
    if refusal.retry_after is not None:
        document["retry_after_seconds"] = retry_after_seconds(refusal)
    return document


def retry_after_seconds(refusal: errors.Refusal) -> int:
    """Returns the whole seconds of the Retry-After header."""
    if refusal.retry_after is None:
        raise AssertionError("the refusal has no retry_after")
    return max(1, math.ceil(refusal.retry_after.total_seconds()))


def body(refusal: errors.Refusal) -> bytes:
    """Returns the encoded problem document."""
    return json.dumps(problem(refusal)).encode()


def headers(refusal: errors.Refusal) -> dict[bytes, bytes]:
    """Returns the headers of the response to a refused request."""
    result = {b"content-type": CONTENT_TYPE, b"cache-control": b"no-store"}
    if refusal.retry_after is not None:
        seconds = retry_after_seconds(refusal)
        result[b"retry-after"] = str(seconds).encode()
    if isinstance(refusal, errors.UnknownAccount):
        result[b"www-authenticate"] = b"Bearer"
    return result


def write(request: typing.Any, refusal: errors.Refusal) -> None:
    """Answers an HTTP request with a refusal."""
    content = body(refusal)
    request.setResponseCode(refusal.status)
    for name, value in headers(refusal).items():
        request.responseHeaders.setRawHeaders(name, [value])
    length = str(len(content)).encode()
    request.responseHeaders.setRawHeaders(b"content-length", [length])
    request.write(content)
    request.finish()


def error_event(refusal: errors.Refusal) -> bytes:
    """Returns the event that ends an incomplete stream."""
    return b"event: error\ndata: " + body(refusal) + b"\n\n"
