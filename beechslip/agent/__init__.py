"""The agent: starts, health-checks, drains and restarts the proxies that are declared in the store."""
