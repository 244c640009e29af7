name: "pilot"
fleet: {
