"""How soon a group's first token comes, by the engine's own figures."""

import attrs

from figford import routes

# A request waits for half a pass of its group on average, and its first
# token comes at the end of the next.
PASSES_TO_FIRST_TOKEN = 1.5
SECOND_MS = 1000.0


@attrs.frozen
class FirstToken:
    """Milliseconds to the first token: alone, and more for each request."""

    alone_ms: float = 0.0
    each_ms: float = 0.0

    def after_ms(self, running: float) -> float:
        """Returns the time in a group that runs so many requests."""
        return self.alone_ms + self.each_ms * running


def first_token(
    engine: routes.Engine, model: routes.Model | None, slower: float
) -> FirstToken:
    """Returns the prediction for a group; all zero without figures.

    `slower` is the factor of a group that spans fabric domains.
    """
    factor = slower * (model.time_factor if model else 1.0)
    steps = PASSES_TO_FIRST_TOKEN * engine.steps_per_pass
    prefill_ms = 0.0
    if engine.prefill_tokens_per_second > 0:
        prefill_ms = (
            SECOND_MS
            * engine.typical_prompt_tokens
            / engine.prefill_tokens_per_second
        )
    each_ms = steps * engine.step_ms_per_sequence
    alone_ms = steps * engine.step_ms + each_ms + prefill_ms
    return FirstToken(factor * alone_ms, factor * each_ms)
