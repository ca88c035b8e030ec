"""The adapter to the users' platform; only this folder knows its names.

Every module decodes or encodes one thing and decides nothing: settings, the
store's documents, requests, calls of backend servers, answers, and the
questions of callers and of the platform about this instance.
"""
