"""Internals of robinthread: nothing here is a public interface."""
