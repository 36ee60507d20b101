"""The tenants of a deployment: whose requests are whose."""

from wigeonrouter.tenancy import _keys

KeyTable = _keys.KeyTable
