//! Runs the plain service emulator.

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
    http::serve(&listen, move |request| service.clone().handle(request)).await
}
