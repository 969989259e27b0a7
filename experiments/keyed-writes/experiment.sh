about="400 keyed submissions a second; transactions that the table service sees"
nodes=3
quick_s=8
start_upstreams() { fleet_services services 8001 4; }
fill_pools() { fleet_fill "$1" services "$(fleet_upstream_list service 8001 4 64)"; }
after_load() {
  echo "  platform: $(fleet_http_get "$fleet_ip:$FLEET_PLATFORM_PORT" /admin/stats)"
}
