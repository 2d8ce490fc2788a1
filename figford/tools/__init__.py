"""Development tools: stand-ins, load generator, soak and experiments."""
