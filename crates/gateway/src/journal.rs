//! The log of a process.

/// Logs key-values to standard output, from level `info` unless the environment says otherwise.
pub(crate) fn init() {
    let environment = env_logger::Env::default().default_filter_or("info,actix_http=off");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Stdout)
        .init();
}
