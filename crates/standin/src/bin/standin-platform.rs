//! Runs the platform emulator.

use std::io;

use clap::Parser;
use standin::http;
use standin::platform::{Options, Platform};

#[actix_rt::main]
async fn main() -> io::Result<()> {
    http::init_logging();
    let options = Options::parse();
    let listen = options.listen.clone();
    let platform = Platform::new(options);
    http::serve(&listen, move |request| platform.clone().handle(request)).await
}
