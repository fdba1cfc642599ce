"""Operator command."""
