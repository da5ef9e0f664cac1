//! Prints the digest under which the catalogue stores a bearer key.

fn main() {
    for key in std::env::args().skip(1) {
        let hex: String = catalogue::digest(&key)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        println!("{hex}  {key}");
    }
}
