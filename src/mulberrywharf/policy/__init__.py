"""Policies: decisions on typed data, without network access or sleeping."""
