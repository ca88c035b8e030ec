"""Tests of what is thought of a backend server."""

import pytest

from crankchute.core.choosers import LeastBusyChooser
from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    ForwardWorld,
    make_backends,
    make_job,
    make_parts,
)
from crankchute.core.forward_job import PromptSize
from crankchute.core.suspicion import Suspicion
from crankchute.errors import BackendError
from crankchute.ports.forwarding import AnswerHead

SHORT = PromptSize(5_000, 1_000)


@pytest.mark.parametrize(
    ('signs', 'age_ms', 'least', 'most'),
    [
        ([], 0, 0, 0),
        (['failure'], 0, 1, 1),
        (['failure'], 2000, 0.5, 0.5),
        (['failure', 'success'], 0, 0.5, 0.5),
        (['failure', 'heard'], 0, 2, 2),
        (['heard', 'heard'], 0, 1, 1),
        (['heard'], 60_000, 0, 0),
        (['failure', 'failure', 'failure', 'heard', 'failure'], 0, 4, 4),
    ],
)
def test_signs_add_up_and_fade(signs, age_ms, least, most):
    suspicion = Suspicion()
    for sign in signs:
        if sign == 'failure':
            suspicion.note_failure(0)
        elif sign == 'success':
            suspicion.note_success(0)
        else:
            suspicion.hear('another', 1, 0)
    assert least <= suspicion.level(age_ms) <= most


def test_only_own_signs_are_told():
    suspicion = Suspicion()
    suspicion.hear('another', 3, 0)
    assert suspicion.own_level(0) == 0


@pytest.mark.parametrize('chooser_class', [LeastBusyChooser, EngineChooser])
def test_server_that_failed_another_is_avoided(chooser_class):
    timers = ManualTimers()
    backends = make_backends(3)
    chooser = chooser_class(make_parts(timers, lambda: backends))
    job = make_job(size=SHORT)
    first = chooser.choose(job, set()).backend
    first.suspicion.hear('another', 1, 0)
    assert chooser.choose(job, set()).backend is not first
    timers.advance(60_000)
    assert chooser.choose(job, set()).backend is first


@pytest.mark.parametrize('chooser_class', [LeastBusyChooser, EngineChooser])
def test_last_server_is_never_forbidden(chooser_class):
    backends = make_backends(2)
    for backend in backends:
        backend.suspicion.hear('another', 4, 0)
    chooser = chooser_class(make_parts(ManualTimers(), lambda: backends))
    assert chooser.choose(make_job(size=SHORT), set()).backend in backends


@pytest.mark.parametrize(
    ('end', 'level'),
    [
        (lambda listener: listener.on_failed(BackendError('x', sent=True)), 1),
        (lambda listener: _answer(listener, 500), 0.5),
        (lambda listener: _answer(listener, 200), 0),
    ],
)
def test_ends_of_attempts_are_signs(end, level):
    world = ForwardWorld()
    world.submit()
    call = world.port.calls[0]
    end(call.listener)
    assert call.placement.backend.suspicion.level(0) == level


def _answer(listener, status):
    listener.on_head(AnswerHead(status))
    listener.on_end()
