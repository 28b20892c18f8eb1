"""The admin listener and the audit trail."""
