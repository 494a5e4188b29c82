"""The engine: clients' requests, their attempts and outcomes, independent of any wire protocol."""
