"""Admin listener, status reports and audit trail."""
