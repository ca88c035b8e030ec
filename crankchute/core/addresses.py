"""Which entry instances a client account uses, and who does shared work.

Nothing is agreed: every instance ranks the members that it knows by the same
hash.  Two instances with different views give different answers for a while,
which costs efficiency only.
"""

from crankchute.core.hashing import rank_by_hash
from crankchute.core.membership import Status

_READERS = 2
_READER_KEY = 'reader'


def choose_addresses(members, account, width, data_centre):
    """Return the instances that an account should use.

    Args:
      members: The known Members.
      account: The account's name.
      width: How many instances the account is shared among.
      data_centre: The caller's, or that of the instance that answers.
    Returns:
      A list of at most `width` Members: those of the data centre first.
    """
    by_id = {one.identity: one for one in members if _takes_callers(one)}
    chosen = rank_by_hash(account, by_id)[:width]
    chosen_members = [by_id[identity] for identity in chosen]
    return sorted(
        chosen_members,
        key=lambda member: member.data_centre != data_centre,
    )


def list_sharers(members, account, width):
    """Return the instances that share an account's limits.

    Args:
      members: The known Members.
      account: The account's name.
      width: How many instances share the limits.
    Returns:
      A list of at most `width` Members.
    """
    return choose_addresses(members, account, width, '')


def is_reader(members, own):
    """Tell whether a node is among the platform's readers of its place.

    Args:
      members: The known Members.
      own: The node's Member.
    Returns:
      A bool.
    """
    local = [
        member.identity
        for member in members
        if member.status == Status.ALIVE
        and member.reads_platform
        and member.data_centre == own.data_centre
    ]
    key = f'{_READER_KEY}/{own.data_centre}'
    return own.identity in rank_by_hash(key, local)[:_READERS]


def choose_owner(members, backend_id, data_centre):
    """Return the id of the instance that owns a backend.

    Args:
      members: The known Members.
      backend_id: The backend's id.
      data_centre: Where the backend runs.
    Returns:
      An instance's id; one of the same data centre if there is any alive.
    """
    alive = [
        member
        for member in members
        if member.status == Status.ALIVE and not member.draining
    ]
    local = [one for one in alive if one.data_centre == data_centre]
    names = [member.identity for member in local or alive]
    ranked = rank_by_hash(backend_id, names)
    return ranked[0] if ranked else None


def _takes_callers(member):
    return member.status != Status.DEAD and not member.draining
