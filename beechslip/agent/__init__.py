"""The agent: runs, watches, drains and restarts the doormans that the store declares."""
