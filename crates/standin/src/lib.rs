//! Stand-ins for the systems outside: model engine, plain service, weight store, load.
