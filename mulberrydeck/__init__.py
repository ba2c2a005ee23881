"""Global traffic steering between callers and back-end targets."""

__version__ = "0.1.0"
