"""Client library with service discovery, retries and deadlines."""
