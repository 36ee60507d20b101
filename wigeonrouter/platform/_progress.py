"""The timeout of the store's responses."""

from wigeonrouter import http1

ProgressTimeout = http1.ProgressTimeout
