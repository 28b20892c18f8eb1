"""Mulberrywharf serves language-model requests on a fixed fleet."""
