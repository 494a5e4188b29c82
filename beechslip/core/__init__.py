"""The core: requests, attempts and outcomes; it knows no wire."""
