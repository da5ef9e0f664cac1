use platform_standin::Store;
use review_standins::*;
use serde_json::json;
use std::time::Duration;
#[actix_rt::main]
async fn main() {
    let n: u8 = std::env::args().nth(1).unwrap().parse().unwrap();
    let store = Store::start().await;
    let routes = ["safe","unsafe","stream","resume"].map(|k| json!({"name":k,"host":HOST,"path_prefix":format!("/{k}/"),
        "kind": match k {"safe"=>"safe","unsafe"=>"unsafe",_=>"streaming"},"timeout_ms":6000,"target_latency_ms":500,"priority":1,
        "service": if k=="safe"||k=="unsafe" {"app"} else {"llm"},"max_attempts":2,"resumable":k=="resume","gap_target_ms":300}));
    store.put("keyed.op","config",Some(&json!({"version":7,"routes":routes,"services":[{"name":"app","max_conns":96},{"name":"llm","max_conns":300,"engine":{
        "slots":8,"kv_capacity":441967,"kv_token_bytes":35136,"link_mbps":330000.0,"handle_ttl_s":5.0}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}})));
    for arg in std::env::args().skip(2) {
        let p: Vec<&str> = arg.split('=').collect();
        platform_standin::engine::register(&store, p[0], p[1].parse().unwrap(), p[2], "ready", (p[2]=="llm").then_some("decode"));
    }
    let f = Folder::create("explore").unwrap();
    let mut g = Vec::new();
    for i in 1..=n { let mut w = Gateway::new(&f.0, i, 9, store.address).unwrap(); w.start().unwrap(); g.push(w); }
    for w in &g { wait_until(Duration::from_secs(15), async || w.is_ready().await).await; println!("{}", w.front); }
    println!("folder {}", f.0.display());
    tokio::time::sleep(Duration::from_secs(40)).await;
}
