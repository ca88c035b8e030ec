"""Assignment of client accounts, backends and store reads to instances.

Assignment uses rendezvous hashing over the known members, without
coordination.  Instances with different views assign differently for a while,
which affects efficiency only.
"""

from crankchute.core.hashing import rank_by_hash
from crankchute.core.membership import Status

_READERS_PER_DATA_CENTRE = 2
_READER_KEY = 'reader'


def choose_instances(members, account, width, data_centre):
    """Return the instances that a client account should use.

    Args:
      members: The known Members.
      account: The account's name.
      width: The number of instances that share the account.
      data_centre: The client's, or that of the instance that answers.
    Returns:
      A list of at most `width` Members, those in the data centre first.
    """
    by_id = {one.identity: one for one in members if _accepts_clients(one)}
    chosen = rank_by_hash(account, by_id)[:width]
    chosen_members = [by_id[identity] for identity in chosen]
    return sorted(
        chosen_members,
        key=lambda member: member.data_centre != data_centre,
    )


def list_limit_sharers(members, account, width):
    """Return the instances that share the limits of a client account.

    Args:
      members: The known Members.
      account: The account's name.
      width: The number of instances that share the limits.
    Returns:
      A list of at most `width` Members.
    """
    return choose_instances(members, account, width, '')


def is_platform_reader(members, own):
    """Tell whether an instance reads the platform for its data centre.

    Args:
      members: The known Members.
      own: The instance's Member.
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
    return own.identity in rank_by_hash(key, local)[:_READERS_PER_DATA_CENTRE]


def choose_owner(members, backend_id, data_centre):
    """Return the id of the instance that owns a backend.

    Args:
      members: The known Members.
      backend_id: The backend's id.
      data_centre: Where the backend runs.
    Returns:
      An instance's id, in the same data centre if possible; None if no
      instance is alive.
    """
    alive = [
        member
        for member in members
        if member.status == Status.ALIVE and not member.draining
    ]
    local = [one for one in alive if one.data_centre == data_centre]
    identities = [member.identity for member in local or alive]
    ranked = rank_by_hash(backend_id, identities)
    return ranked[0] if ranked else None


def _accepts_clients(member):
    return member.status != Status.DEAD and not member.draining
