"""The ports met with libraries: circuits, grpcio, prometheus_client, eliot."""
