"""The running broker: pure driver, and the service that joins it to sockets."""
