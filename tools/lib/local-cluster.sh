# shellcheck shell=bash
# Functions to run stand-ins and nodes on this machine, for ./demo and the measurements in tools/.
# A script that reads this file sets bin_dir (build directory) and work_dir (for logs) and calls stop_all
# at its end. Everything started is stopped by its pid.

declare -A pid_of=()
declare -A port_of=()
started=()

free_port() {  # Prints a TCP port of the loopback address that nobody listens on.
  local port
  while :; do
    port=$((20000 + RANDOM % 12000))
    [ -n "${taken_ports[$port]:-}" ] && continue
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
  done
  echo "$port"
}
declare -A taken_ports=()
declare -A fixed_port_of=()
new_port() {  # new_port NAME: sets port_of[NAME], to fixed_port_of[NAME] if a script set that.
  port_of[$1]=${fixed_port_of[$1]:-$(free_port)}
  taken_ports[${port_of[$1]}]=1
}

start() {  # start NAME PROGRAM FLAG...: runs a program in the background.
  local name=$1 program=$2
  shift 2
  "$program" "$@" >"$work_dir/$name.log" 2>&1 &
  pid_of[$name]=$!
  started+=("$name")
}

stop() {  # stop NAME SIGNAL: signals one program that this script started.
  kill "-$2" "${pid_of[$1]}" 2>/dev/null
}

stop_all() {
  local name
  for name in "${started[@]}"; do stop "$name" KILL; done
  for name in "${started[@]}"; do wait "${pid_of[$name]}" 2>/dev/null; done
  started=()
}

get() { curl -s --max-time 20 "http://127.0.0.1:$1$2"; }         # get PORT PATH
post() { curl -s --max-time 20 -X POST -d "$3" "http://127.0.0.1:$1$2"; }  # post PORT PATH BODY

wait_until() {  # wait_until SECONDS COMMAND...: polls a condition.
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -ge "$end" ] && return 1
    sleep 0.1
  done
}

answers() { [ "$(curl -s -o /dev/null --max-time 2 -w '%{http_code}' "http://127.0.0.1:$1$2")" = 200 ]; }

start_stand_ins() {  # start_stand_ins ORDERING_CONTROL_JSON
  local name
  for name in log vms ordering usage weights; do new_port "$name"; done
  start log "$bin_dir/test/fake_log" "--listen=127.0.0.1:${port_of[log]}"
  start vms "$bin_dir/test/fake_vms" "--listen=127.0.0.1:${port_of[vms]}"
  start ordering "$bin_dir/test/fake_ordering" "--listen=127.0.0.1:${port_of[ordering]}" \
    "--vms=127.0.0.1:${port_of[vms]}" "--control=$1"
  start usage "$bin_dir/test/fake_usage" "--listen=127.0.0.1:${port_of[usage]}"
  start weights "$bin_dir/test/fake_weights" "--listen=127.0.0.1:${port_of[weights]}"
  for name in log vms ordering usage weights; do
    wait_until 10 answers "${port_of[$name]}" /healthz || return 1
  done
}

start_node() {  # start_node NAME FAILURE_DOMAIN [FLAG...]
  local name=$1 failure_domain=$2 kind
  shift 2
  for kind in caller admin peer; do new_port "$name.$kind"; done
  post "${port_of[vms]}" /vms "{\"vms\":[{\"name\":\"$name\",\"state\":\"VM_LIVE\",\"failure_domain\":\"$failure_domain\",
    \"endpoint\":\"127.0.0.1:${port_of[$name.peer]}\"}]}" >/dev/null
  start "$name" "$bin_dir/mulberryd" "--node-id=$name" "--failure-domain=$failure_domain" \
    "--listen-port=${port_of[$name.caller]}" "--admin-port=${port_of[$name.admin]}" \
    "--peer-port=${port_of[$name.peer]}" "--log-service=127.0.0.1:${port_of[log]}" \
    "--vm-list=127.0.0.1:${port_of[vms]}" "--ordering-service=127.0.0.1:${port_of[ordering]}" \
    "--usage-service=127.0.0.1:${port_of[usage]}" "--weight-store=127.0.0.1:${port_of[weights]}" \
    --upstream-credential=credential-of-the-service "$@"
}

live_upstreams() {  # live_upstreams TARGET: prints how many upstreams the VM list shows as live.
  get "${port_of[vms]}" "/vms?target=$1" | jq '[.vms[]? | select(.state == "VM_LIVE")] | length'
}
has_upstreams() { [ "$(live_upstreams "$1")" -ge "$2" ]; }  # has_upstreams TARGET COUNT
