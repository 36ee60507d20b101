"""Adapter to the users' machines: names, formats and calls.

Nothing here decides. Each module turns what the platform says into the
product's records, or the product's statements into the platform's.
"""
