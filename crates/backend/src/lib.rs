//! HTTP clients for engines, tools and the platform, each behind one narrow trait.
