"""Load and experiment tool, reports and plots."""
