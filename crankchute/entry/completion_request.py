"""Parses and validates the requests of callers."""

from http import HTTPStatus

from crankchute.adapters.routes import read_json
from crankchute.core.candidates import select_pools
from crankchute.core.hashing import fingerprint_beginnings, make_fingerprint
from crankchute.core.job import Job
from crankchute.core.labels import match_labels
from crankchute.errors import RequestRefused

ACCOUNT_HEADER = 'Crankchute-Account'
CLASS_HEADER = 'Crankchute-Class'
DEADLINE_HEADER = 'Crankchute-Deadline-Ms'
_DEFAULT_MAX_TOKENS = 16
_MAX_TOKENS_LIMIT = 32_768


class Caller:
    """The account, workload class and deadline of a request.

    Attributes:
      account: An Account.
      workload: A WorkloadClass.
      remaining_ms: Milliseconds from the arrival of the request to its
        deadline, an int.
    """

    __slots__ = ('account', 'remaining_ms', 'workload')

    def __init__(self, account, workload, remaining_ms):
        """Create the caller record.

        Args:
          account: An Account.
          workload: A WorkloadClass.
          remaining_ms: Milliseconds until the deadline.
        """
        self.account = account
        self.workload = workload
        self.remaining_ms = remaining_ms


class CompletionRequest:
    """A validated completion request.

    Attributes:
      job: The Job.
      stream: Whether the response is streamed, a bool.
      is_chat: Whether it is a chat completion, a bool.
    """

    __slots__ = ('is_chat', 'job', 'stream')

    def __init__(self, job, *, stream, is_chat):
        """Create the request.

        Args:
          job: The Job.
          stream: A bool.
          is_chat: A bool.
        """
        self.job = job
        self.stream = stream
        self.is_chat = is_chat


def read_caller(config, exchange):
    """Read the account, class and deadline from the request headers.

    Args:
      config: The Config in force.
      exchange: An Exchange.
    Returns:
      A Caller.
    Raises:
      RequestRefused: If a header is missing or invalid.
    """
    account = read_account(config, exchange)
    workload = _read_class(config, exchange, account)
    text = exchange.header(DEADLINE_HEADER)
    if text is None:
        raise bad_request(
            'missing_deadline',
            f'the header {DEADLINE_HEADER} is missing',
        )
    remaining_ms = _parse_deadline(text)
    if remaining_ms <= 0:
        raise bad_request('past_deadline', 'the deadline has passed')
    if remaining_ms > workload.max_deadline_ms:
        raise bad_request(
            'deadline_too_far',
            f'class {workload.name!r} allows {workload.max_deadline_ms} ms',
        )
    return Caller(account, workload, remaining_ms)


def read_account(config, exchange):
    """Read the account from the request headers.

    Args:
      config: The Config in force.
      exchange: An Exchange.
    Returns:
      An Account.
    Raises:
      RequestRefused: If the account is missing or unknown.
    """
    name = exchange.header(ACCOUNT_HEADER)
    if name is None:
        raise bad_request(
            'missing_account',
            f'the header {ACCOUNT_HEADER} is missing',
        )
    account = config.accounts.get(name)
    if account is None:
        raise RequestRefused(
            HTTPStatus.FORBIDDEN,
            'unknown_account',
            f'there is no account {name!r}',
        )
    return account


def read_completion(config, exchange, now_ms, request_id):
    """Parse a completion request.

    Args:
      config: The Config in force.
      exchange: An Exchange.
      now_ms: The time on this process's clock.
      request_id: The id to assign to the request.
    Returns:
      A CompletionRequest.
    Raises:
      RequestRefused: If the request is invalid.
    """
    caller = read_caller(config, exchange)
    document = read_json(exchange)
    is_chat = exchange.path.endswith('/chat/completions')
    model = _read_model(config, document)
    prompt = _read_prompt(document, is_chat)
    tokens = -(-len(prompt) // model.bytes_per_token)
    if tokens > model.max_prompt_tokens:
        raise bad_request(
            'prompt_too_long',
            f'{tokens} tokens; {model.name!r} takes {model.max_prompt_tokens}',
        )
    job = Job(
        request_id=request_id,
        fingerprint=make_fingerprint(
            caller.account.name.encode(),
            model.name.encode(),
            prompt,
        ),
        part_fingerprints=fingerprint_beginnings(model.name, prompt),
        account=caller.account.name,
        workload=caller.workload.name,
        model=model.name,
        prompt=prompt,
        tokens=int(tokens),
        max_tokens=_read_max_tokens(document),
        arrived_ms=now_ms,
        deadline_ms=now_ms + caller.remaining_ms,
        priority=caller.workload.priority,
        pools=_select_model_pools(config, caller.workload, model.name),
    )
    stream = document.get('stream', False) is True
    return CompletionRequest(job, stream=stream, is_chat=is_chat)


def find_service_pool(config, caller, name):
    """Check that a caller may use a service pool.

    Args:
      config: The Config in force.
      caller: A Caller.
      name: The pool's name.
    Raises:
      RequestRefused: If the class of the caller has no such pool.
    """
    if name not in select_pools(config, caller.workload, None):
        raise RequestRefused(
            HTTPStatus.NOT_FOUND,
            'unknown_pool',
            f'class {caller.workload.name!r} has no service pool {name!r}',
        )


def bad_request(code, text):
    """Return a RequestRefused with status 400.

    Args:
      code: A machine-readable error code.
      text: The error message.
    """
    return RequestRefused(HTTPStatus.BAD_REQUEST, code, text)


def _read_class(config, exchange, account):
    allowed_classes = {
        workload.name: workload
        for workload in config.classes.values()
        if match_labels(workload.accounts, account.labels)
    }
    name = exchange.header(CLASS_HEADER)
    if name is None and len(allowed_classes) == 1:
        return next(iter(allowed_classes.values()))
    if name not in allowed_classes:
        raise bad_request(
            'unknown_class',
            f'{CLASS_HEADER} must be one of {sorted(allowed_classes)}',
        )
    return allowed_classes[name]


def _parse_deadline(text):
    try:
        return int(text)
    except ValueError:
        raise bad_request(
            'bad_deadline',
            f'{DEADLINE_HEADER} is not a whole number of milliseconds',
        ) from None


def _read_model(config, document):
    name = document.get('model')
    if not isinstance(name, str) or name not in config.models:
        raise RequestRefused(
            HTTPStatus.NOT_FOUND,
            'unknown_model',
            f'there is no model {name!r}',
        )
    return config.models[name]


def _read_prompt(document, is_chat):
    prompt = document.get('prompt')
    if is_chat:
        prompt = _join_messages(document.get('messages'))
    if isinstance(prompt, str) and prompt:
        return prompt.encode()
    field = 'messages' if is_chat else 'prompt'
    raise bad_request('bad_prompt', f'{field!r} is missing, empty or no text')


def _join_messages(messages):
    if not isinstance(messages, list):
        return None
    texts = []
    for message in messages:
        text = message.get('content') if isinstance(message, dict) else None
        if not isinstance(text, str):
            return None
        texts.append(f'{message.get("role", "user")}: {text}\n')
    return ''.join(texts)


def _read_max_tokens(document):
    count = document.get('max_tokens', _DEFAULT_MAX_TOKENS)
    is_integer = isinstance(count, int) and not isinstance(count, bool)
    if not is_integer or not 1 <= count <= _MAX_TOKENS_LIMIT:
        raise bad_request(
            'bad_max_tokens',
            f'max_tokens must be from 1 to {_MAX_TOKENS_LIMIT}',
        )
    return count


def _select_model_pools(config, workload, model):
    pools = select_pools(config, workload, model)
    if pools:
        return pools
    raise RequestRefused(
        HTTPStatus.NOT_FOUND,
        'unknown_model',
        f'class {workload.name!r} has no pool with model {model!r}',
    )
