"""Operations on VMs and pools, shared by the controller and the administration API."""
