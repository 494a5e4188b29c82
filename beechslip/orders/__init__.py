"""Orders over many instances that outlive whoever runs them. Decisions here are pure; the store keeps the record."""
