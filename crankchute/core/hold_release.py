"""Releases the memory of an engine group, with retries until acknowledged."""

#: Delay before the first retry of an unanswered release, in milliseconds.
#: It doubles with every further retry, up to the maximum: a busy engine answers
#: soon, and a lost one need not be asked often.
_FIRST_RETRY_MS = 300
_MAX_RETRY_MS = 4800


def release_hold(context, backend, group, until_ms):
    """Release the memory of a group on one engine.

    Without retries, a lost order would leave the memory occupied until the
    deadline of the request, possibly for minutes.

    Args:
      context: A CompletionContext.
      backend: The Backend.
      group: The group's id.
      until_ms: When the engine frees the memory by itself, on this process's
        clock; no retry is sent after that.
    """
    _send_release(context, backend, group, until_ms, _FIRST_RETRY_MS)


def _send_release(context, backend, group, until_ms, retry_ms):
    def send_retry():
        if context.now_ms() < until_ms:
            context.metrics.count('orders_unanswered', 'release')
            next_retry_ms = min(retry_ms * 2, _MAX_RETRY_MS)
            _send_release(context, backend, group, until_ms, next_retry_ms)

    def on_done(is_answered):
        if is_answered:
            retry.cancel()

    retry = context.timers.after(retry_ms, send_retry)
    context.engines.release(backend, group, on_done)
