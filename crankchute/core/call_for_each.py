"""Calls for several requests, of which one may fail without the others."""

from crankchute.ports.errors import report_error


def call_for_each(function, arguments, **fields):
    """Call a function for each argument, even if it fails for some.

    Args:
      function: A function of an argument.
      arguments: An iterable, which the calls may change.
      fields: What a failure concerns, for its report.
    """
    for one in tuple(arguments):
        try:
            function(one)
        except Exception as exc:
            report_error(exc, **fields)


def call_for_each_flow(function, flows):
    """Call a function for each request in progress, even if it fails for some.

    Args:
      function: A function of a ForwardFlow.
      flows: An iterable of ForwardFlows, which the calls may change.
    """
    for flow in tuple(flows):
        call_for_each(function, (flow,), request=flow.job.request_id)
