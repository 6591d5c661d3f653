//! The caller side with scripted homes, asked by tokio-postgres and by raw bytes.

mod home;
mod messages;
mod proxy;

mod bytes;
mod extended;
mod faults;
mod sessions;
mod simple;
mod stops;
