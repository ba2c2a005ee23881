"""The gevent shell around the reducer: timers, platform, polls."""
