"""Freeing what a group holds on an engine, until the engine answers."""

#: A release without an answer is sent again after this, in milliseconds, and then
#: after twice as long each time: an engine that is busy answers soon, and one
#: that is lost need not be asked often.
_FIRST_PAUSE_MS = 300
_LONGEST_PAUSE_MS = 4800


def release_hold(desk, backend, group, until_ms):
    """Free what a group holds; ask again while that may not have arrived.

    Without that, one lost order kept a group's memory until its request's
    deadline, which may be minutes away.

    Args:
      desk: A FlowDesk.
      backend: The Backend.
      group: The group's id.
      until_ms: When the hold ends by itself, on this process's clock.
    """
    _send(desk, backend, group, until_ms, _FIRST_PAUSE_MS)


def _send(desk, backend, group, until_ms, pause_ms):
    def send_again():
        if desk.now_ms() < until_ms:
            desk.metrics.count('orders_unanswered', 'release')
            next_ms = min(pause_ms * 2, _LONGEST_PAUSE_MS)
            _send(desk, backend, group, until_ms, next_ms)

    def take(is_answered):
        if is_answered:
            retry.cancel()

    retry = desk.timers.after(pause_ms, send_again)
    desk.engines.release(backend, group, take)
