"""The gevent shell around the reducer: event loop, timer, input and output."""
