"""Placing a request at once, or a moment later with the turn of another instance."""

from crankchute.core.choosers import NOT_WANTED
from crankchute.core.forward_job import Placement


def place_request(desk, flow, avoided, on_choice):
    """Choose where a request's next attempt runs.

    Where this instance has no turn at any server, others may have: callers come
    to any instance, and few have a part of a low limit.

    Args:
      desk: The ForwardDesk.
      flow: The ForwardFlow.
      avoided: Ids of servers that it must not be sent to again.
      on_choice: A function of a Placement or a Refusal, called at once or once
        other instances were asked; then the flow may have ended.
    """
    choice = desk.choose(flow, avoided)
    # Whatever else speaks against it, such as servers that crashed under it, no
    # turn helps.
    if isinstance(choice, Placement) or choice.code != NOT_WANTED:
        on_choice(choice)
        return
    chooser = desk.chooser_of(flow.job.pool)

    def take(server):
        lent = None
        if server is not None and not flow.ended:
            lent = chooser.choose_on_server(flow.job, server)
        if isinstance(lent, Placement):
            chooser.note_sent(flow.job, lent)
            on_choice(lent)
        else:
            desk.lending.give_back(server)
            on_choice(choice)

    if not desk.lending.borrow(chooser.list_without_turn(avoided), take):
        on_choice(choice)
