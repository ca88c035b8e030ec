"""Adapters between the ports and circuits, grpcio, prometheus_client, eliot."""
