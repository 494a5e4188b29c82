"""The platform's protocol: the HTTP front, the backend client and the reader of the change log."""
