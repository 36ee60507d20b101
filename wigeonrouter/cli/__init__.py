"""The command-line tool wigeonrouter for operators."""
