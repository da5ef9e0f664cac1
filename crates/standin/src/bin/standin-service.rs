//! Runs the plain service's stand-in.

use std::io;

use clap::Parser;
use standin::http;
use standin::service::{Options, Service};

#[actix_rt::main]
async fn main() -> io::Result<()> {
    http::init_logging();
    let options = Options::parse();
    let listen = options.listen.clone();
    let service = Service::new(options);
    http::serve(&listen, move |call| service.clone().handle(call)).await
}
