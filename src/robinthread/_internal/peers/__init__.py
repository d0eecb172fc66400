"""Communication between daemons: messages, transport, routing and liveness."""
