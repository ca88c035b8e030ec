"""Adapters between the core and the platform that the system is deployed on.

Only this package uses the names of the platform's wire formats.  Its modules
translate and leave decisions to the core: settings, documents of the store,
requests, calls of backend servers, responses, address lookups and health
checks.
"""
