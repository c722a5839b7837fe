console.log("not built yet");
