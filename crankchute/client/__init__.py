"""The client library: addresses, bindings, retries, deadlines."""
