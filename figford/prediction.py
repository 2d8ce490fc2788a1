"""Predicts a group's time to first token from the engine's figures."""

import attrs

from figford import routes

# On average, a request waits for half a pass of its group; its first token
# comes at the end of the next pass.
PASSES_TO_FIRST_TOKEN = 1.5
MS_PER_SECOND = 1000.0


@attrs.frozen
class FirstToken:
    """Milliseconds to the first token: idle, plus an amount per request."""

    unloaded_ms: float = 0.0
    per_request_ms: float = 0.0

    def under_load_ms(self, running: float) -> float:
        """Returns the time in a group with this many running requests."""
        return self.unloaded_ms + self.per_request_ms * running


def first_token(
    engine: routes.Engine, model: routes.Model | None, slowdown: float
) -> FirstToken:
    """Returns the prediction for a group; zero if the engine has no figures.

    `slowdown` is the time factor of a group that spans fabric domains.
    """
    factor = slowdown * (model.time_factor if model else 1.0)
    steps = PASSES_TO_FIRST_TOKEN * engine.steps_per_pass
    prefill_ms = 0.0
    if engine.prefill_tokens_per_second > 0:
        prefill_ms = (
            MS_PER_SECOND
            * engine.typical_prompt_tokens
            / engine.prefill_tokens_per_second
        )
    per_request_ms = steps * engine.step_ms_per_sequence
    unloaded_ms = steps * engine.step_ms + per_request_ms + prefill_ms
    return FirstToken(factor * unloaded_ms, factor * per_request_ms)
