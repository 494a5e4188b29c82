"""The platform's protocol: a thin HTTP front, the depot client, and the reader of the change log."""
