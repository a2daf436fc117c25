# shellcheck shell=bash
# The last part of ./demo: a batch and a request over the users' platform's interface. Needs tools/lib/local-cluster.sh
# and the function expect; sets nothing that other parts use.

platform_settings() {  # platform_settings NODE DOMAIN: writes the settings file of one node.
  cat >"$work_dir/$1.toml" <<EOF
node = "$1"
zone = "$2"
ip = "127.0.0.1"
internalPorts = [${port_of[$1.metrics]}, 0]
seedNodes = ["127.0.0.1:${port_of[edge-1.peer]}", "127.0.0.1:${port_of[edge-2.peer]}"]
[listen]
front = "127.0.0.1:${port_of[$1.front]}"
readiness = "127.0.0.1:${port_of[$1.ready]}"
control = "127.0.0.1:${port_of[$1.peer]}"
[bounds]
usageWindowS = 5
[platform]
addr = "127.0.0.1:${port_of[platform]}"
parts = 4
[cloud]
addr = "127.0.0.1:${port_of[platform]}"
EOF
}

platform_manifest() {
  jq -nc '{version: 1,
    routes: [{name: "reports", host: "demo.example", pathPrefix: "/reports/", kind: "idempotent", service: "desk",
              maxAttempts: 2, timeoutMs: 2000, targetLatencyMs: 150},
             {name: "steps", host: "demo.example", pathPrefix: "/steps/", kind: "rollout", service: "engines",
              maxAttempts: 3, resultDeadlineMs: 7500, retentionS: 40}],
    services: [{name: "desk"}, {name: "engines", engine: {models: [{name: "m0"}]}}],
    limits: {maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000},
    tenants: [{name: "brest", apiKeys: ["demo-key"]}]}'
}

platform_call() {  # platform_call NODE METHOD PATH [CURL FLAG...]: prints the body, then the status.
  local node=$1 method=$2 path=$3
  shift 3
  curl -s --max-time 5 -w '\n%{http_code}' -X "$method" -H 'Host: demo.example' -H 'Credential: demo-key' "$@" \
    "http://127.0.0.1:${port_of[$node.front]}$path"
}

platform_batch() {
  jq -nc '{step: 0, model: "m0", minVersion: 1, desired: 2, items: [range(8) | {id: "sample-\(.)", path: "/steps/s\(.)",
    headers: {Model: "m0", "Token-Count": "20,120"}, body: "YWJj", tokens: 140, group: "g\(. % 2)"}]}'
}

platform_results() { platform_call edge-2 GET '/v1/lots/demo-step?after=0' | head -n 1; }
platform_batch_whole() { [ "$(platform_results | jq '.results | length')" = 8 ]; }
platform_usage() { [ "$(get "${port_of[platform]}" /stats | jq '[.windows[].brest // 0] | add')" = 1 ]; }

demo_platform() {
  local name index=0 status
  for name in platform edge-1.{front,ready,peer,metrics} edge-2.{front,ready,peer,metrics} replica-{1,2,3}; do
    new_port "$name"
  done
  start platform "$bin_dir/test/fake_platform" "--listen=127.0.0.1:${port_of[platform]}"
  wait_until 10 answers "${port_of[platform]}" /stats
  post "${port_of[platform]}" '/operator/put?key=config' "$(platform_manifest)" >/dev/null
  for name in replica-1 replica-2 replica-3; do
    index=$((index + 1))
    start "$name" "$bin_dir/test/fake_replica" "$(jq -nc --arg id "$name" --arg at "127.0.0.1:${port_of[$name]}" \
      --arg platform "127.0.0.1:${port_of[platform]}" --argjson engine "$([ "$index" -lt 3 ] && echo true || echo false)" \
      '{id: $id, listen: $at, advertised: $at, platform: $platform, failure_domain: "d1",
        service: (if $engine then "engines" else "desk" end), models: (if $engine then ["m0"] else [] end)}')"
  done
  for name in edge-1 edge-2; do
    platform_settings "$name" d1
    start "$name" "$bin_dir/mulberry-node" --settings "$work_dir/$name.toml"
  done
  for name in edge-1 edge-2; do
    expect "$name is ready" wait_until 10 answers "${port_of[$name.ready]}" /v1/readyz
  done
  status=$(platform_call edge-1 POST /reports/1 -H 'Request-Id: report-1' -H 'Deadline-Ms: 2000' -d x | tail -n 1)
  expect "a landing report is taken" equal "$status" 200
  status=$(platform_call edge-1 POST /steps/demo -H 'Request-Id: demo-step' -d "$(platform_batch)" | tail -n 1)
  expect "a batch is accepted by edge-1" equal "$status" 202
  expect "its 8 results are listed at edge-2" wait_until 10 platform_batch_whole
  expect "each names version 1" equal "$(platform_results | jq -c '[.results[].versions] | unique')" '[[1]]'
  status=$(platform_call edge-2 DELETE /v1/lots/demo-step | tail -n 1)
  expect "the batch is ended" equal "$status" 200
  expect "the report is billed to brest" wait_until 20 platform_usage
}
