"""Tests the prediction of time to first token from engine figures."""

import datetime

import pytest

from figford import prediction
from figford import routes

SECOND = datetime.timedelta(seconds=1)
MODEL = routes.Model("small", 2, 0.33, 0.5, SECOND, SECOND)
ENGINE = routes.Engine(
    slots=13,
    models=(MODEL,),
    step_ms=6.0,
    step_ms_per_sequence=0.5,
    prefill_tokens_per_second=50000.0,
    steps_per_pass=4,
    typical_prompt_tokens=1000.0,
)


def test_a_request_alone_waits_for_its_prompt_and_passes() -> None:
    found = prediction.first_token(ENGINE, None, 1.0)
    assert found.unloaded_ms == pytest.approx(1.5 * 4 * 6.5 + 20)
    assert found.under_load_ms(10) == pytest.approx(found.unloaded_ms + 30)


def test_model_pace_and_domain_span_scale_the_prediction() -> None:
    alone = prediction.first_token(ENGINE, None, 1.0).unloaded_ms
    found = prediction.first_token(ENGINE, MODEL, 2.5)
    assert found.unloaded_ms == pytest.approx(alone * 0.5 * 2.5)


def test_an_engine_without_figures_predicts_nothing() -> None:
    engine = routes.Engine(slots=13, models=())
    assert prediction.first_token(engine, None, 1.0).under_load_ms(5) == 0
