"""The operators' ordered rules: read, check, match, explain."""
